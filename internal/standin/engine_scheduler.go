package standin

import (
	"sort"
	"time"
)

// job is one request in an engine. The engine's lock guards the fields from changed on.
type job struct {
	id           string
	model        string
	prompt       string
	promptTokens int
	capTokens    int
	targetTokens int
	priority     int
	seed         uint64

	changed      chan struct{}
	prefillSteps int
	generated    int
	started      bool
	finished     bool
	canceled     bool
	start        time.Time
}

// jobProgress is a snapshot of a job's progress; changed is closed at the next change.
type jobProgress struct {
	generated int
	finished  bool
	canceled  bool
	changed   <-chan struct{}
}

func (j *job) logEntry() Run {
	return Run{
		RequestID: j.id, Model: j.model, Prompt: j.prompt, PromptTokens: j.promptTokens, Generated: j.generated,
		CapTokens: j.capTokens, Finished: j.finished, Canceled: j.canceled, Start: j.start,
	}
}

func (j *job) notifyChange() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (e *Engine) progressOf(j *job) jobProgress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return jobProgress{generated: j.generated, finished: j.finished, canceled: j.canceled, changed: j.changed}
}

func (e *Engine) findJob(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

// otherJob returns the latest started job with a different ID, or nil.
func (e *Engine) otherJob(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.startedJobs) - 1; i >= 0; i-- {
		if e.startedJobs[i].id != id {
			return e.startedJobs[i]
		}
	}
	return nil
}

func (e *Engine) submit(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addJob(j)
	e.waitingJobs = append(e.waitingJobs, j)
	sort.SliceStable(e.waitingJobs, func(a, b int) bool { return e.waitingJobs[a].priority < e.waitingJobs[b].priority })
	if !e.stepping {
		e.stepping = true
		go e.runSteps()
	}
}

func (e *Engine) addJob(j *job) {
	e.jobs[j.id] = j
	e.jobOrder = append(e.jobOrder, j.id)
	if len(e.jobOrder) > maxResumableJobs {
		delete(e.jobs, e.jobOrder[0])
		e.jobOrder = e.jobOrder[1:]
	}
}

// runSteps executes steps until no job is running or waiting.
func (e *Engine) runSteps() {
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
	e.fillSlots()
	active := e.runningJobs[:0]
	for _, j := range e.runningJobs {
		e.advance(j)
		if !j.finished && !j.canceled {
			active = append(active, j)
		}
	}
	clear(e.runningJobs[len(active):])
	e.runningJobs = active
	e.stepping = len(e.runningJobs)+len(e.waitingJobs) > 0
	return e.stepping
}

// fillSlots starts waiting jobs in free slots.
func (e *Engine) fillSlots() {
	for len(e.waitingJobs) > 0 && len(e.runningJobs) < e.cfg.Slots {
		j := e.waitingJobs[0]
		e.waitingJobs = e.waitingJobs[1:]
		if j.canceled {
			continue
		}
		j.started = true
		j.start = time.Now()
		j.prefillSteps = (j.promptTokens - e.cache.lookUpAndInsert(j.prompt)) / prefillTokensPerStep
		e.startedJobs = append(e.startedJobs, j)
		e.runningJobs = append(e.runningJobs, j)
	}
}

func (e *Engine) advance(j *job) {
	switch {
	case j.canceled:
		return
	case j.prefillSteps > 0:
		j.prefillSteps--
		return
	}
	j.generated++
	j.finished = j.generated >= j.targetTokens
	j.notifyChange()
}

// cancelJob cancels a job unless it is finished, and returns its progress.
func (e *Engine) cancelJob(j *job) jobProgress {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.finished && !j.canceled {
		j.canceled = true
		j.notifyChange()
	}
	return jobProgress{generated: j.generated, finished: j.finished, canceled: j.canceled}
}
