package admission

import "time"

// Config configures NewScheduler. A field that is zero is set to its default.
type Config struct {
	// LongThreshold is the run time above which a statement belongs to the long
	// class; default 100 ms.
	LongThreshold time.Duration
	// ShortExpected and LongExpected are the expected run times of short and long
	// work as long as no run was observed; default 5 ms and 1 s.
	ShortExpected time.Duration
	LongExpected  time.Duration
	// AgingThreshold is the waiting time after which work counts as aged: part of the
	// grants go to aged work in the order of arrival, which prevents starvation;
	// default 500 ms.
	AgingThreshold time.Duration
	// AgedGrantInterval is the interval, in grants of one endpoint, at which aged work
	// goes first: one grant in AgedGrantInterval; default 4.
	AgedGrantInterval int
	// PrimaryPenalty is added to the primary's distance for reads, so that its
	// slots remain for writes; default 2 ms, longer than the round trip between two
	// availability zones.
	PrimaryPenalty time.Duration
	// RampInterval is the time after which an endpoint that accepts work again may use
	// one more of its slots; default 100 ms.
	RampInterval time.Duration
	// Seed seeds the jitter of retry hints; equal seeds give equal hints.
	Seed uint64
}

const (
	defaultLongThreshold     = 100 * time.Millisecond
	defaultShortExpected     = 5 * time.Millisecond
	defaultLongExpected      = time.Second
	defaultAgingThreshold    = 500 * time.Millisecond
	defaultAgedGrantInterval = 4
	defaultPrimaryPenalty    = 2 * time.Millisecond
	defaultRampInterval      = 100 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.LongThreshold = orDefault(c.LongThreshold, defaultLongThreshold)
	c.ShortExpected = orDefault(c.ShortExpected, defaultShortExpected)
	c.LongExpected = orDefault(c.LongExpected, defaultLongExpected)
	c.AgingThreshold = orDefault(c.AgingThreshold, defaultAgingThreshold)
	c.AgedGrantInterval = orDefault(c.AgedGrantInterval, defaultAgedGrantInterval)
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
