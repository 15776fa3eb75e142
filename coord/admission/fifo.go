package admission

import "time"

// FIFOConfig configures NewFIFO.
type FIFOConfig struct {
	// ReplicaReads lets read-only work run on replicas.
	ReplicaReads bool
}

// NewFIFO returns the naive baseline to compare NewScheduler with: one queue in the
// order of arrival, only the primary unless cfg allows replicas, no classes and no
// refusal before the deadline. The first work in the queue blocks all work behind it.
func NewFIFO(cfg FIFOConfig) Scheduler { return newOrderedScheduler(cfg, byArrival) }

// orderedScheduler serves one queue strictly in the order that its less function
// defines.
type orderedScheduler struct {
	cfg       FIFOConfig
	slots     *slots
	queue     itemHeap
	deadlines itemHeap
	waiting   map[uint64]*item
	sequence  uint64
}

func newOrderedScheduler(cfg FIFOConfig, less func(a, b *item) bool) *orderedScheduler {
	return &orderedScheduler{
		cfg:       cfg,
		slots:     newSlots(),
		queue:     itemHeap{less: less, kind: orderHeap},
		deadlines: itemHeap{less: byDeadline, kind: deadlineHeap},
		waiting:   make(map[uint64]*item),
	}
}

// SetEndpoints implements Scheduler.
func (o *orderedScheduler) SetEndpoints(now time.Time, eps []Endpoint) {
	o.slots.set(now, eps)
	for _, e := range o.slots.sorted {
		e.slotLimit = e.Slots
	}
}

// Enqueue implements Scheduler. Only work whose deadline has passed is refused.
func (o *orderedScheduler) Enqueue(now time.Time, w Work) *Refusal {
	o.sequence++
	i := &item{work: w, sequence: o.sequence}
	if i.expired(now) {
		return &Refusal{Work: w, Reason: ReasonDeadline}
	}
	o.waiting[w.ID] = i
	o.queue.add(i)
	o.deadlines.add(i)
	return nil
}

// Dispatch implements Scheduler.
func (o *orderedScheduler) Dispatch(now time.Time) ([]Grant, []Refusal) {
	var refusals []Refusal
	for i := o.deadlines.first(); i != nil && i.expired(now); i = o.deadlines.first() {
		o.dequeue(i)
		refusals = append(refusals, Refusal{Work: i.work, Reason: ReasonDeadline})
	}
	var grants []Grant
	for i := o.queue.first(); i != nil; i = o.queue.first() {
		e := o.choose(i)
		if e == nil {
			break
		}
		o.dequeue(i)
		grants = append(grants, o.slots.grant(now, i, e))
	}
	return grants, refusals
}

// choose returns the eligible endpoint with a free slot that has the lowest share of
// its slots held, or nil.
func (o *orderedScheduler) choose(i *item) *endpoint {
	var best *endpoint
	for _, e := range o.slots.sorted {
		if !o.usable(e) || !i.eligible(e) {
			continue
		}
		if best == nil || len(e.running)*best.Slots < len(best.running)*e.Slots {
			best = e
		}
	}
	return best
}

// usable reports whether the endpoint has a free slot that this scheduler may use.
func (o *orderedScheduler) usable(e *endpoint) bool {
	return e.hasFreeSlot() && (e.Primary || o.cfg.ReplicaReads)
}

func (o *orderedScheduler) dequeue(i *item) {
	delete(o.waiting, i.work.ID)
	o.queue.remove(i)
	o.deadlines.remove(i)
}

// Release implements Scheduler.
func (o *orderedScheduler) Release(_ time.Time, g Grant, _ time.Duration, _ bool) { o.slots.release(g) }

// Remove implements Scheduler.
func (o *orderedScheduler) Remove(id uint64) bool {
	i, ok := o.waiting[id]
	if ok {
		o.dequeue(i)
	}
	return ok
}

// NextWake implements Scheduler.
func (o *orderedScheduler) NextWake(now time.Time) time.Time {
	i := o.deadlines.first()
	if i == nil {
		return time.Time{}
	}
	wake := i.work.Deadline
	for _, e := range o.slots.sorted {
		if recheck := now.Add(eligibilityRecheckInterval); o.usable(e) && (wake.IsZero() || recheck.Before(wake)) {
			wake = recheck
		}
	}
	return wake
}

// Len implements Scheduler.
func (o *orderedScheduler) Len() int { return len(o.waiting) }
