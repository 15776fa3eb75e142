package rows

// A store that is restored from an older copy gives out versions again that it has given
// before. Versions therefore hold the store's era in their upper bits, so that they rise over
// a restoration as well.
const (
	eraShift = 44
	// MaxEra and MaxStoreVersion limit the era, which is the number of restorations, and the
	// version of a row in the store.
	MaxEra          = 1<<12 - 1
	MaxStoreVersion = 1<<eraShift - 1
)

// VersionInEra returns the version of a row that the store gave out in the era.
func VersionInEra(era, storeVersion uint64) uint64 { return era<<eraShift | storeVersion }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraShift }

// StoreVersion returns the version as the store knows it.
func StoreVersion(version uint64) uint64 { return version & MaxStoreVersion }
