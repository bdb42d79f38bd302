package quarantine

import "time"

// maxAnswersTold bounds the parts with an answer of which others are to be told.
const maxAnswersTold = 64

// tellAnswer lets other instances be told that an answer to a part began, if this instance has just learned it from another one, and lost
// the part itself in one of several crashes. The others got these crashes without it, and would judge the part as never answered.
func (t *Tracker) tellAnswer(part string) {
	crashes, own := 0, false
	for _, c := range t.crashes {
		if s := c.parts[part]; s != nil {
			crashes++
			own = own || s.own
		}
	}
	if own && crashes >= minSuspicion && len(t.answersToTell) < maxAnswersTold {
		t.answersToTell = append(t.answersToTell, part)
		t.signal()
	}
}

// storedAnswers returns which of the parts ever had an answer. Readers of the store may know the parts only from there. The age is that of
// no crash that counts, so that it does not clear a part, also if a reader does not add the age of the object to it.
func (t *Tracker) storedAnswers(parts map[string]bool, now time.Time) []Begun {
	out := t.begunState(parts, now)
	for i := range out {
		out[i].Age = max(out[i].Age, evidenceMemory)
	}
	return out
}
