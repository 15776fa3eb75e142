package soak

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against checks of the teams that accept what must not happen: a statement under another
// name, one of a withdrawn key, a refused key that is in force, and too many operations; and against checks that report what may
// happen: a key that was given back, and a limit that is not binding yet.
func TestChecksOfTeams(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	withKeys := func(second float64, rate float64, keys ...string) configuration {
		return configuration{written: at(second), acknowledged: at(second), teams: []team{{"a", keys, limit{rate, 0}}}}
	}
	type run struct {
		sent, received float64
		times          int
		user           string
	}
	const denied = "" // The key of the run is refused.
	// Within a window, 2*3*1.1+5 = 11.6 operations are allowed, and 27 before the limit is lowered.
	lowered := []configuration{withKeys(0, 10, "k"), withKeys(1, 3, "k")}
	withdrawn := []configuration{withKeys(0, 10, "k"), withKeys(1, 10), withKeys(9, 10, "k")}
	for name, test := range map[string]struct {
		configurations []configuration
		disturbances   []disturbance
		run            run
		violation      string
	}{
		"name of the team":                    {withdrawn, nil, run{0, 0, 1, "a"}, ""},
		"key as the name":                     {withdrawn, nil, run{0, 0, 1, "k"}, "USER"},
		"within the bound":                    {withdrawn, nil, run{3.9, 8, 1, "a"}, ""},
		"after the bound":                     {withdrawn, nil, run{4.1, 8, 1, "a"}, "REVOKED"},
		"received after the key's return":     {withdrawn, nil, run{4.1, 9.1, 1, "a"}, ""},
		"refused after the key's return":      {withdrawn, nil, run{12.1, 12.2, 1, denied}, "DENIED"},
		"refused soon after the key's return": {withdrawn, nil, run{11.9, 12.2, 1, denied}, ""},
		"refused after the withdrawal":        {withdrawn, nil, run{5, 5, 1, denied}, ""},
		"sent before the withdrawal":          {withdrawn, nil, run{0.9, 1.1, 1, denied}, ""},
		"below the limit":                     {lowered, nil, run{3, 4, 26, "a"}, ""},
		"above the limit":                     {lowered, nil, run{3, 4, 28, "a"}, "QUOTA"},
		"not run in the window":               {lowered, nil, run{3, 5.1, 28, "a"}, ""},
		"above the lowered limit":             {lowered, nil, run{4.1, 5, 12, "a"}, "QUOTA"},
		"not binding yet":                     {lowered, []disturbance{{at(3), at(5)}}, run{7.9, 8, 12, "a"}, ""},
		"binding after a disturbance":         {lowered, []disturbance{{at(3), at(5)}}, run{8.1, 9, 12, "a"}, "QUOTA"},
	} {
		g := NewWithT(t)
		r := newRunner(Config{})
		r.teams, r.configurations, r.disturbances = newTeams(), test.configurations, test.disturbances
		r.group.users[test.run.user] = true
		for n := range test.run.times {
			id := fmt.Sprint(n)
			r.recorder.addKeyed(id, keyedStatement{"a", "k", at(test.run.sent)})
			if test.run.user == denied {
				r.recorder.denied = append(r.recorder.denied, deniedStatement{r.recorder.keyed[id], at(test.run.received)})
				continue
			}
			r.group.executions = append(r.group.executions, execution{id: id, receivedAt: at(test.run.received), user: test.run.user, first: true})
		}
		violations := r.checkTeams()
		if test.violation == "" {
			g.Expect(violations).To(BeEmpty(), name)
		} else {
			g.Expect(violations).NotTo(BeEmpty(), name)
			g.Expect(violations).To(HaveEach(HavePrefix(test.violation)), name)
		}
	}
}
