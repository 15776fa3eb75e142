package admission

import "time"

// Config configures NewScheduler. A field that is zero gets its default.
type Config struct {
	// ShortLimit is the run time above which a statement belongs to the long
	// class; default 100 ms.
	ShortLimit time.Duration
	// ShortExpected and LongExpected are the expected run times before anything
	// has run; default 5 ms and 1 s.
	ShortExpected time.Duration
	LongExpected  time.Duration
	// AgeBound is the waiting time after which work gets a share of the grants in
	// the order of arrival; default 500 ms.
	AgeBound time.Duration
	// AgedShare gives aged work one grant in AgedShare of each endpoint; default 4.
	AgedShare int
	// PrimaryPenalty is added to the primary's distance for reads, so that its
	// slots remain for writes; default 2 ms, above the round trip between two
	// zones.
	PrimaryPenalty time.Duration
	// RampInterval is the time after which an endpoint that accepts work again
	// may use one more slot; default 100 ms.
	RampInterval time.Duration
	// Seed makes the jitter of retry hints repeatable.
	Seed uint64
}

const (
	defaultShortLimit     = 100 * time.Millisecond
	defaultShortExpected  = 5 * time.Millisecond
	defaultLongExpected   = time.Second
	defaultAgeBound       = 500 * time.Millisecond
	defaultAgedShare      = 4
	defaultPrimaryPenalty = 2 * time.Millisecond
	defaultRampInterval   = 100 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.ShortLimit = orDefault(c.ShortLimit, defaultShortLimit)
	c.ShortExpected = orDefault(c.ShortExpected, defaultShortExpected)
	c.LongExpected = orDefault(c.LongExpected, defaultLongExpected)
	c.AgeBound = orDefault(c.AgeBound, defaultAgeBound)
	c.AgedShare = orDefault(c.AgedShare, defaultAgedShare)
	c.PrimaryPenalty = orDefault(c.PrimaryPenalty, defaultPrimaryPenalty)
	c.RampInterval = orDefault(c.RampInterval, defaultRampInterval)
	return c
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
