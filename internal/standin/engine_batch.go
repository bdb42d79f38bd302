package standin

import (
	"sort"
	"time"
)

// job is one request in an engine. Its fields after change are guarded by the engine's lock.
type job struct {
	id           string
	model        string
	prompt       string
	promptTokens int
	cap          int
	want         int
	priority     int
	seed         uint64

	change    chan struct{}
	prefill   int
	generated int
	started   bool
	finished  bool
	canceled  bool
	start     time.Time
}

// view is a copy of a job's progress.
type view struct {
	generated int
	finished  bool
	canceled  bool
	change    <-chan struct{}
}

func (j *job) run() Run {
	return Run{
		RequestID: j.id, Model: j.model, Prompt: j.prompt, PromptTokens: j.promptTokens, Generated: j.generated,
		CapTokens: j.cap, Finished: j.finished, Canceled: j.canceled, Start: j.start,
	}
}

func (j *job) wake() {
	close(j.change)
	j.change = make(chan struct{})
}

func (e *Engine) look(j *job) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{generated: j.generated, finished: j.finished, canceled: j.canceled, change: j.change}
}

func (e *Engine) find(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

// other returns a request that is not the one with the id, or nil.
func (e *Engine) other(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.runs) - 1; i >= 0; i-- {
		if e.runs[i].id != id {
			return e.runs[i]
		}
	}
	return nil
}

func (e *Engine) submit(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keep(j)
	e.waiting = append(e.waiting, j)
	sort.SliceStable(e.waiting, func(a, b int) bool { return e.waiting[a].priority < e.waiting[b].priority })
	if !e.stepping {
		e.stepping = true
		go e.work()
	}
}

func (e *Engine) keep(j *job) {
	e.jobs[j.id] = j
	e.order = append(e.order, j.id)
	if len(e.order) > answersKept {
		delete(e.jobs, e.order[0])
		e.order = e.order[1:]
	}
}

// work steps until no request is left.
func (e *Engine) work() {
	tick := time.NewTicker(e.cfg.Step)
	defer tick.Stop()
	for range tick.C {
		if !e.step() {
			return
		}
	}
}

func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fill()
	left := e.running[:0]
	for _, j := range e.running {
		e.advance(j)
		if !j.finished && !j.canceled {
			left = append(left, j)
		}
	}
	clear(e.running[len(left):])
	e.running = left
	e.stepping = len(e.running)+len(e.waiting) > 0
	return e.stepping
}

// fill moves waiting requests into free slots.
func (e *Engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.canceled {
			continue
		}
		j.started = true
		j.start = time.Now()
		j.prefill = (j.promptTokens - e.cache.use(j.prompt)) / prefillTokens
		e.runs = append(e.runs, j)
		e.running = append(e.running, j)
	}
}

func (e *Engine) advance(j *job) {
	switch {
	case j.canceled:
		return
	case j.prefill > 0:
		j.prefill--
		return
	}
	j.generated++
	j.finished = j.generated >= j.want
	j.wake()
}

// stop cancels a job and returns its progress.
func (e *Engine) stop(j *job) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.finished && !j.canceled {
		j.canceled = true
		j.wake()
	}
	return view{generated: j.generated, finished: j.finished, canceled: j.canceled}
}
