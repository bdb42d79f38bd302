package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes of a prompt are cached together, as blockTokens tokens.
	blockBytes  = 64
	blockTokens = 16
	// eventsKept bounds the cache events that can still be fetched.
	eventsKept = 4096
)

// CacheEvent tells that a block of a prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash over the prompt up to the end of the block.
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
	at     time.Time
}

// prefixCache holds blocks of prompt prefixes, the least recently used leave first. The engine's lock guards it.
type prefixCache struct {
	cfg    EngineConfig
	blocks map[uint64]*list.Element
	used   *list.List
	events []CacheEvent
	next   uint64
}

func newPrefixCache(cfg EngineConfig) *prefixCache {
	return &prefixCache{cfg: cfg, blocks: make(map[uint64]*list.Element), used: list.New()}
}

// use returns how many tokens of the prompt were cached and caches all of it.
func (c *prefixCache) use(prompt string) int {
	hits, missed := 0, false
	h := xxhash.New()
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		_, _ = h.WriteString(prompt[at : at+blockBytes])
		block := h.Sum64()
		el, ok := c.blocks[block]
		if ok {
			c.used.MoveToFront(el)
		} else {
			c.blocks[block] = c.used.PushFront(block)
			c.publish(block, true)
		}
		missed = missed || !ok
		if !missed {
			hits += blockTokens
		}
	}
	c.evict()
	return hits
}

func (c *prefixCache) evict() {
	for c.used.Len()*blockTokens > c.cfg.CacheTokens {
		block := c.used.Remove(c.used.Back()).(uint64)
		delete(c.blocks, block)
		c.publish(block, false)
	}
}

func (c *prefixCache) publish(block uint64, stored bool) {
	c.next++
	if c.cfg.EventGap > 0 && c.next%c.cfg.EventGap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.next, Block: block, Stored: stored, at: time.Now()})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	seen := time.Now().Add(-e.cfg.EventLag)
	out := []CacheEvent{}
	e.mu.Lock()
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.at.After(seen) {
			out = append(out, ev)
		}
	}
	e.mu.Unlock()
	sendJSON(w, http.StatusOK, struct {
		Events []CacheEvent `json:"events"`
	}{out})
}
