package admission

import "time"

// FIFOConfig configures NewFIFO.
type FIFOConfig struct {
	// ReplicaReads lets read-only work run on replicas.
	ReplicaReads bool
}

// NewFIFO returns the naive baseline: one queue in the order of arrival, the
// primary only, no classes, no refusal before the deadline. The first work in
// the queue holds up all work behind it.
func NewFIFO(cfg FIFOConfig) Scheduler { return newOrdered(cfg, byArrival) }

// ordered serves one queue strictly in one order.
type ordered struct {
	cfg       FIFOConfig
	slots     *slots
	queue     itemHeap
	deadlines itemHeap
	waiting   map[uint64]*item
	sequence  uint64
}

func newOrdered(cfg FIFOConfig, less func(a, b *item) bool) *ordered {
	return &ordered{
		cfg:       cfg,
		slots:     newSlots(),
		queue:     itemHeap{less: less, slot: slotOrder},
		deadlines: itemHeap{less: byDeadline, slot: slotDeadline},
		waiting:   make(map[uint64]*item),
	}
}

// SetEndpoints implements Scheduler.
func (o *ordered) SetEndpoints(now time.Time, eps []Endpoint) {
	o.slots.set(now, eps)
	for _, e := range o.slots.order {
		e.limit = e.Slots
	}
}

// Enqueue implements Scheduler. Only work whose deadline has passed is refused.
func (o *ordered) Enqueue(now time.Time, w Work) *Refusal {
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
func (o *ordered) Dispatch(now time.Time) ([]Grant, []Refusal) {
	var refusals []Refusal
	for i := o.deadlines.first(); i != nil && i.expired(now); i = o.deadlines.first() {
		o.take(i)
		refusals = append(refusals, Refusal{Work: i.work, Reason: ReasonDeadline})
	}
	var grants []Grant
	for i := o.queue.first(); i != nil; i = o.queue.first() {
		e := o.choose(i)
		if e == nil {
			break
		}
		o.take(i)
		grants = append(grants, o.slots.grant(now, i, e))
	}
	return grants, refusals
}

// choose returns the free endpoint that has least work for its slots, or nil.
func (o *ordered) choose(i *item) *endpoint {
	var best *endpoint
	for _, e := range o.slots.order {
		if !o.usable(e) || !i.eligible(e) {
			continue
		}
		if best == nil || len(e.running)*best.Slots < len(best.running)*e.Slots {
			best = e
		}
	}
	return best
}

// usable reports whether the endpoint has a slot that this order may use.
func (o *ordered) usable(e *endpoint) bool {
	return e.free() && (e.Primary || o.cfg.ReplicaReads)
}

func (o *ordered) take(i *item) {
	delete(o.waiting, i.work.ID)
	o.queue.remove(i)
	o.deadlines.remove(i)
}

// Release implements Scheduler.
func (o *ordered) Release(_ time.Time, g Grant, _ time.Duration, _ bool) { o.slots.release(g) }

// Remove implements Scheduler.
func (o *ordered) Remove(id uint64) bool {
	i, ok := o.waiting[id]
	if ok {
		o.take(i)
	}
	return ok
}

// NextWake implements Scheduler.
func (o *ordered) NextWake(now time.Time) time.Time {
	i := o.deadlines.first()
	if i == nil {
		return time.Time{}
	}
	wake := i.work.Deadline
	for _, e := range o.slots.order {
		if recheck := now.Add(eligibilityRecheck); o.usable(e) && (wake.IsZero() || recheck.Before(wake)) {
			wake = recheck
		}
	}
	return wake
}

// Len implements Scheduler.
func (o *ordered) Len() int { return len(o.waiting) }
