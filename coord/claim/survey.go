package claim

import "time"

// survey is the state of PhaseSurveying. It shows that a majority of the endpoints is
// reachable before a claim fences the current primary.
type survey struct {
	// highestTermAtStart is the highest term that was known when the survey began.
	highestTermAtStart uint64
	// afterCallID is the ID of the last call before the survey; only answers to later
	// calls count.
	afterCallID uint64
	deadline    time.Time
}

func (m *Machine) startSurvey(now time.Time) {
	m.phase = PhaseSurveying
	m.survey = survey{highestTermAtStart: m.highestTerm, afterCallID: m.nextID, deadline: now.Add(AttemptTimeout)}
	m.lastRetryAt = time.Time{}
}

func (m *Machine) driveSurvey(now time.Time) {
	m.pollUnanswered(now)
	switch {
	case m.countSurveyAnswers() >= m.majority():
		m.endSurvey(now)
	case !now.Before(m.survey.deadline):
		m.phase = PhaseWatching
		m.scheduleRetry(now)
	}
}

func (m *Machine) countSurveyAnswers() int {
	n := 0
	for _, r := range m.records {
		if r.answerID > m.survey.afterCallID {
			n++
		}
	}
	return n
}

func (m *Machine) pollUnanswered(now time.Time) {
	if now.Sub(m.lastRetryAt) < RetryInterval {
		return
	}
	m.lastRetryAt = now
	for _, a := range m.addresses() {
		if m.records[a].answerID <= m.survey.afterCallID {
			delete(m.awaitedCalls, callKey{a, CallStatus})
			m.startCall(now, CallStatus, a)
		}
	}
}

// endSurvey starts the claim, unless the survey found a term that this daemon did not
// know: it then waits for a heartbeat of that term's owner.
func (m *Machine) endSurvey(now time.Time) {
	if m.highestTerm > m.survey.highestTermAtStart {
		m.phase = PhaseWatching
		m.ownerHeardAt = now
		return
	}
	m.startAdvance(now)
}
