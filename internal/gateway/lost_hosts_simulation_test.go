//go:build simulatedtime

package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

const (
	// recoveryTime is RecoveryS of the deployments.
	recoveryTime = 12 * time.Second
	// lossTolerance is how long after the loss of most hosts a primary may stay without a successor:
	// until a host that is cut off from most others gives up waiting for a quorum, a horizon, and a
	// failover.
	lossTolerance = 8*time.Second + permission.MajorityHorizon + 7*time.Second
)

// lossCase is a fleet that loses hosts for good.
type lossCase struct{ hosts, lost, joining int }

func (c lossCase) String() string {
	return fmt.Sprintf("%d of %d hosts lost, %d new ones", c.lost, c.hosts, c.joining)
}

var lossCases = []lossCase{{3, 2, 2}, {3, 2, 0}, {4, 2, 2}, {5, 3, 3}, {5, 4, 4}, {13, 9, 9}, {13, 11, 3}, {40, 25, 0}, {40, 33, 20}}

// hostNames returns names of hosts with the prefix.
func hostNames(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%02d", prefix, i))
	}
	return out
}

// startLossCase starts the fleet and waits until all of its hosts are voters.
func startLossCase(t *testing.T, c lossCase) (f *fakeFleet, lost, left []string) {
	f = newFleet(manyConnections)
	f.latency, f.store.latency = time.Millisecond, 15*time.Millisecond
	names := hostNames("h", c.hosts)
	f.startAll(t, names...)
	f.awaitVoters(t, c.hosts)
	return f, names[:c.lost], names[c.lost:]
}

// lose ends hosts, which do not answer any more.
func (f *fakeFleet) lose(hosts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, host := range hosts {
		f.stops[host]()
		f.partition[host] = 100 + n
	}
}

// restartAll kills the hosts and starts them again after a second.
func (f *fakeFleet) restartAll(t *testing.T, hosts []string) {
	f.mu.Lock()
	for _, host := range hosts {
		f.hosts[host] = nil
		f.stops[host]()
	}
	f.mu.Unlock()
	time.Sleep(time.Second)
	for _, host := range hosts {
		f.start(t, host)
	}
}

// Guards against a primary that is never replaced, since most hosts were lost for good and replaced
// before, and no majority of the voters answers (review case 10). All processes are killed later, as
// in that case.
func TestPrimaryIsReplacedAfterLossOfMostHostsInSimulation(t *testing.T) {
	for _, c := range lossCases {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, lost, left := startLossCase(t, c)
				f.lose(lost...)
				joining := hostNames("n", c.joining)
				for _, host := range joining {
					f.start(t, host)
				}
				time.Sleep(18 * time.Second)
				left = append(slices.Clone(left), joining...)
				f.group.stop("e1")
				f.restartAll(t, left)
				began := time.Now()
				writeUntilConfirmed(t, f, left[0], recoveryTime)
				t.Logf("confirmed %v after the hosts were back", time.Since(began))
				f.end()
			})
		})
	}
}

// Guards against a primary that is not replaced if it is lost in the same moment as most hosts, or if
// the store is away meanwhile, or comes back from a copy that is older than the change of the
// electorate.
func TestLossOfMostHostsBesideOtherFaultsInSimulation(t *testing.T) {
	faults := map[string]func(f *fakeFleet, left []string){
		"primary lost": func(f *fakeFleet, _ []string) { f.group.stop("e1") },
		"hosts restarted before the change is completed": func(f *fakeFleet, _ []string) {
			time.Sleep(9 * time.Second)
			f.group.stop("e1")
		},
		"another host cut off for a while": func(f *fakeFleet, left []string) {
			f.mu.Lock()
			f.partition[left[0]] = 1
			f.mu.Unlock()
			f.store.setUnavailable(left[0], true)
			time.Sleep(5 * time.Second)
			f.group.stop("e1")
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			f.partition[left[0]] = 0
			f.mu.Unlock()
			f.store.setUnavailable(left[0], false)
		},
		"store away": func(f *fakeFleet, left []string) {
			for _, host := range left {
				f.store.setUnavailable(host, true)
			}
			time.Sleep(5 * time.Second)
			f.group.stop("e1")
			time.Sleep(time.Second)
			for _, host := range left {
				f.store.setUnavailable(host, false)
			}
		},
		"store restored": func(f *fakeFleet, _ []string) {
			copied := f.store.snapshot()
			time.Sleep(lossTolerance)
			f.group.stop("e1")
			f.store.restore(copied)
		},
		"store restored and hosts restarted": func(f *fakeFleet, left []string) {
			copied := f.store.snapshot()
			time.Sleep(lossTolerance)
			f.group.stop("e1")
			f.store.restore(copied)
			time.Sleep(time.Second)
		},
	}
	for name, fault := range faults {
		for _, c := range []lossCase{{3, 2, 2}, {5, 3, 3}, {40, 33, 20}} {
			t.Run(name+", "+c.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, lost, left := startLossCase(t, c)
					f.lose(lost...)
					for _, host := range hostNames("n", c.joining) {
						f.start(t, host)
						left = append(left, host)
					}
					began := time.Now()
					fault(f, left)
					if strings.Contains(name, "hosts restarted") {
						f.restartAll(t, left)
					}
					writeUntilConfirmed(t, f, left[0], 2*lossTolerance)
					t.Logf("confirmed %v after the loss", time.Since(began))
					f.end()
				})
			})
		}
	}
}

// Guards against voters that are lost while a change of the electorate is not completed.
func TestLossDuringAChangeOfTheElectorateInSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, lost, left := startLossCase(t, lossCase{hosts: 3, lost: 2})
		joining := hostNames("n", 2)
		f.store.mu.Lock()
		f.store.beforeWrite = func(key string) {
			if key == "electorate" {
				go f.lose(lost...)
			}
		}
		f.store.mu.Unlock()
		for _, host := range joining {
			f.start(t, host)
		}
		time.Sleep(time.Second)
		f.group.stop("e1")
		writeUntilConfirmed(t, f, left[0], 2*lossTolerance)
		f.end()
	})
}

// Guards against a change without a quorum that is never completed, since its new voters are lost as
// well before it is: by then the hosts that are left must have chosen others.
func TestLossOfTheNewVotersInSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, lost, left := startLossCase(t, lossCase{hosts: 5, lost: 3})
		f.lose(lost...)
		joining := hostNames("n", 3)
		for _, host := range joining {
			f.start(t, host)
		}
		time.Sleep(8 * time.Second)
		f.lose(joining...)
		f.group.stop("e1")
		began := time.Now()
		writeUntilConfirmed(t, f, left[0], 2*lossTolerance)
		t.Logf("confirmed %v after the second loss", time.Since(began))
		f.end()
	})
}

// Guards against two primaries if the hosts that do not answer are cut off from the store and the
// others and not lost: they answer each other, and use a primary that only they reach (ONE, STALE,
// review case 1). Also guards against hosts that do not find back after that.
func TestCutOffMajorityStopsBeforeItIsReplacedInSimulation(t *testing.T) {
	for _, c := range []lossCase{{3, 2, 2}, {5, 3, 2}, {5, 4, 4}, {9, 7, 4}} {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, cutOff, left := startLossCase(t, c)
				f.mu.Lock()
				for _, host := range cutOff {
					f.partition[host] = 1
					f.store.setUnavailable(host, true)
				}
				f.mu.Unlock()
				for _, host := range hostNames("n", c.joining) {
					f.start(t, host)
					left = append(left, host)
				}
				for _, host := range left {
					f.group.setCut(host, "e1", true)
				}
				f.group.mu.Lock()
				f.group.side["e1"] = 1
				f.group.mu.Unlock()
				began := time.Now()
				go func() {
					// Use shows that the primary does not answer.
					for time.Since(began) < 2*lossTolerance {
						f.caller(left[0], "strict").do(write("a", nextID()))
						time.Sleep(20 * time.Millisecond)
					}
				}()
				var lastConfirmed, promoted time.Duration
				for time.Since(began) < 2*lossTolerance {
					time.Sleep(20 * time.Millisecond)
					reply := f.caller(cutOff[0], "strict").do(write("a", nextID()))
					if reply.OK() {
						lastConfirmed = time.Since(began)
					}
					f.group.mu.Lock()
					if promoted == 0 && len(f.group.promotions) > 0 {
						promoted = time.Since(began)
					}
					f.group.mu.Unlock()
				}
				t.Logf("the hosts that were cut off served for %v, promotion after %v", lastConfirmed, promoted)
				g.Expect(lastConfirmed).To(BeNumerically(">", permission.MajorityHorizon-time.Second))
				g.Expect(promoted).To(BeNumerically(">", lastConfirmed))
				f.group.mu.Lock()
				replacedWrites := f.group.replacedPrimaryWrites
				f.group.mu.Unlock()
				g.Expect(replacedWrites).To(BeZero())
				f.mu.Lock()
				for _, host := range cutOff {
					f.partition[host] = 0
					f.store.setUnavailable(host, false)
				}
				f.mu.Unlock()
				for _, host := range cutOff {
					writeUntilConfirmed(t, f, host, recoveryTime)
				}
				f.awaitVoters(t, c.hosts+c.joining)
				f.end()
			})
		})
	}
}

// Guards against a host that is cut off from the others, but not from the store, and chooses the voters:
// it finds no quorum, and neither would the others then. A primary that is lost meanwhile must be
// replaced as soon as otherwise.
func TestIsolatedHostDoesNotChooseTheVotersInSimulation(t *testing.T) {
	for _, lostAt := range []time.Duration{3 * time.Second, 8500 * time.Millisecond, 20500 * time.Millisecond, 22 * time.Second} {
		t.Run(lostAt.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, isolated, others := startLossCase(t, lossCase{hosts: 5, lost: 2})
				f.mu.Lock()
				for n, host := range isolated {
					f.partition[host] = n + 1
				}
				f.mu.Unlock()
				time.Sleep(lostAt)
				f.group.stop("e1")
				began := time.Now()
				writeUntilConfirmed(t, f, others[0], 8*time.Second)
				t.Logf("confirmed after %v", time.Since(began))
				time.Sleep(2 * lossTolerance)
				voters := f.voters()
				for _, host := range others {
					g.Expect(voters).To(ContainElement(host))
				}
				f.end()
			})
		})
	}
}

// Guards against an outage of the store that ends service although all hosts answer each other.
func TestSoundFleetOutlastsAnOutageOfTheStoreInSimulation(t *testing.T) {
	for _, size := range []int{3, 13, 40} {
		t.Run(fmt.Sprint(size, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, _, names := startLossCase(t, lossCase{hosts: size})
				for _, host := range names {
					f.store.setUnavailable(host, true)
				}
				refused, total := 0, 0
				for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(50 * time.Millisecond) {
					total++
					reply := f.caller(names[total%size], "strict").do(read("a"))
					if !reply.OK() {
						refused++
					}
				}
				g.Expect(refused).To(BeZero(), "of %d reads", total)
				f.end()
			})
		})
	}
}
