package shard

// HitSpec holds the values that NewHit takes.
type HitSpec struct {
	// ID identifies the document.
	ID string
	// Score orders hits, highest first.
	Score float64
	// Data is the opaque payload of the document.
	Data []byte
}

// Hit is one result of a search.
type Hit struct {
	spec HitSpec
}

// NewHit returns the immutable Hit that spec describes.
func NewHit(spec HitSpec) Hit {
	return Hit{spec: spec}
}

// ID identifies the document.
func (h Hit) ID() string { return h.spec.ID }

// Score orders hits, highest first.
func (h Hit) Score() float64 { return h.spec.Score }

// Data is the opaque payload of the document.
func (h Hit) Data() []byte { return h.spec.Data }
