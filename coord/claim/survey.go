package claim

import "time"

// survey is the state of PhaseSurveying. A claim disturbs the endpoints only
// once a majority of them is known to be within reach.
type survey struct {
	// known is the highest term known when the survey began.
	known uint64
	// after is the call ID after which answers count.
	after    uint64
	deadline time.Time
}

func (m *Machine) startSurvey(now time.Time) {
	m.phase = PhaseSurveying
	m.survey = survey{known: m.highest, after: m.nextID, deadline: now.Add(AttemptTimeout)}
	m.retriedAt = time.Time{}
}

func (m *Machine) driveSurvey(now time.Time) {
	m.pollUnanswered(now)
	switch {
	case m.surveyed() >= m.majority():
		m.endSurvey(now)
	case !now.Before(m.survey.deadline):
		m.phase = PhaseWatching
		m.backOff(now)
	}
}

func (m *Machine) surveyed() int {
	n := 0
	for _, r := range m.records {
		if r.answerID > m.survey.after {
			n++
		}
	}
	return n
}

func (m *Machine) pollUnanswered(now time.Time) {
	if now.Sub(m.retriedAt) < RetryInterval {
		return
	}
	m.retriedAt = now
	for _, a := range m.addresses() {
		if m.records[a].answerID <= m.survey.after {
			delete(m.waiting, waitKey{a, CallStatus})
			m.call(now, CallStatus, a)
		}
	}
}

// endSurvey claims, unless the endpoints are at a term that this daemon had not
// heard of: its owner is given the time to be heard.
func (m *Machine) endSurvey(now time.Time) {
	if m.highest > m.survey.known {
		m.phase = PhaseWatching
		m.heardAt = now
		return
	}
	m.startAdvance(now)
}
