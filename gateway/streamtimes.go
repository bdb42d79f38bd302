package gateway

// readEvent reads the next event of a stream from the endpoint and records when it arrived.
func (a *attempt) readEvent() (event, error) {
	ready := a.clock.Now()
	ev, err := a.events.next()
	if err == nil {
		a.times.Event(ready, a.clock.Now())
	}
	return ev, err
}

// recordStream records what the times of a stream tell of the speed of its engine. resumed is set if the stream went on at this
// endpoint. The endpoint then also repeats tokens before its first event, as it does for a caller that resumes a stream itself.
func (j *job) recordStream(a *attempt, resumed bool) {
	if j.engine() != nil {
		a.ticket.RecordStream(a.times, resumed || j.meta.ResumeAfter != "", a.clock.Now())
	}
}
