package manifest

// poolRef is the reference to a pool's object in a bucket.
type poolRef struct {
	name string
	hash string
}
