package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Prompts are cached in blocks of blockBytes bytes, each of which counts as blockTokens tokens.
	blockBytes  = 64
	blockTokens = 16
	// maxCacheEvents bounds the cache events that are kept for fetching.
	maxCacheEvents = 4096
)

// CacheEvent reports that a block of a prompt prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prompt up to the end of the block.
	Block     uint64 `json:"block"`
	Stored    bool   `json:"stored"`
	published time.Time
}

// prefixCache is an LRU cache of blocks of prompt prefixes. The engine's lock guards it.
type prefixCache struct {
	cfg          EngineConfig
	blocks       map[uint64]*list.Element
	lru          *list.List
	events       []CacheEvent
	lastSequence uint64
}

func newPrefixCache(cfg EngineConfig) *prefixCache {
	return &prefixCache{cfg: cfg, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// lookUpAndInsert returns how many tokens of the prompt's prefix are cached and inserts all blocks of the prompt.
func (c *prefixCache) lookUpAndInsert(prompt string) int {
	cachedTokens, missed := 0, false
	h := xxhash.New()
	for offset := 0; offset+blockBytes <= len(prompt); offset += blockBytes {
		_, _ = h.WriteString(prompt[offset : offset+blockBytes])
		block := h.Sum64()
		el, ok := c.blocks[block]
		if ok {
			c.lru.MoveToFront(el)
		} else {
			c.blocks[block] = c.lru.PushFront(block)
			c.publish(block, true)
		}
		missed = missed || !ok
		if !missed {
			cachedTokens += blockTokens
		}
	}
	c.evict()
	return cachedTokens
}

func (c *prefixCache) evict() {
	for c.lru.Len()*blockTokens > c.cfg.CacheTokens {
		block := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, block)
		c.publish(block, false)
	}
}

func (c *prefixCache) publish(block uint64, stored bool) {
	c.lastSequence++
	if c.cfg.DropEventEvery > 0 && c.lastSequence%c.cfg.DropEventEvery == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Block: block, Stored: stored, published: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	publishedBefore := time.Now().Add(-e.cfg.EventDelay)
	out := []CacheEvent{}
	e.mu.Lock()
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.published.After(publishedBefore) {
			out = append(out, ev)
		}
	}
	e.mu.Unlock()
	sendJSON(w, http.StatusOK, struct {
		Events []CacheEvent `json:"events"`
	}{out})
}
