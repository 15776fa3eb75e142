package manifest

// poolRef is a pool as its bucket names it.
type poolRef struct {
	name string
	hash string
}
