package permission

import "time"

const (
	// MajorityHorizon limits how long answers of a majority prove a permission after the last
	// read of the store. It is above the longest outage of the store that the users' pages state,
	// which is 9 s. After the loss of most voters no primary can be replaced for this time.
	MajorityHorizon = 10 * time.Second
	// FullHorizon is the limit if nearly all voters answer, so that an outage of the store does
	// not end the service of a sound fleet.
	FullHorizon = 5 * time.Minute
	// HorizonDrift bounds how far the clocks of two hosts drift apart during a horizon.
	HorizonDrift = 500 * time.Millisecond
	// silentDivisor is the part of the voters that may be silent if nearly all answer.
	silentDivisor = 8
)

// nearlyAll returns how many of the voters must answer for FullHorizon to apply.
func nearlyAll(voters int) int { return voters - voters/silentDivisor }

// Horizon returns how long after the write of a row of the store a host that does not know the row
// may still be permitted, if the given number of the voters know the row and tell of it. A host
// that nearly all voters answer learns of the row from one of these, unless they are too few.
func Horizon(voters, knowing int) time.Duration {
	if knowing > voters-nearlyAll(voters) {
		return MajorityHorizon + HorizonDrift
	}
	return FullHorizon + HorizonDrift
}
