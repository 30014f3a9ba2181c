package quarantine

import "time"

// maxAnswers is the number of answers that are kept: those of the time that a message between nodes takes, at a
// node with 1,000 requests a second.
const maxAnswers = 512

// answer is the time at which a request or a part was answered.
type answer struct {
	f  Fingerprint
	at time.Time
}

// answerLog holds the latest answers.
type answerLog struct {
	answers []answer
	next    int // index of the oldest once the log is full
}

func (l *answerLog) add(f Fingerprint, at time.Time) {
	if len(l.answers) < maxAnswers {
		l.answers = append(l.answers, answer{f, at})
		return
	}
	l.answers[l.next] = answer{f, at}
	l.next = (l.next + 1) % maxAnswers
}

// last returns when f was last answered, zero if the log has no answer to it.
func (l *answerLog) last(f Fingerprint) time.Time {
	var last time.Time
	for _, a := range l.answers {
		if a.f == f {
			last = later(last, a.at)
		}
	}
	return last
}
