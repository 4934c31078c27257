package store

// MaxValueBytes is the maximum size of a value, 1 MiB. The platform's store rejects
// larger ones.
const MaxValueBytes = 1 << 20

// maxListBytes is the maximum size of a List reply. It prevents a faulty store from
// exhausting the daemon's memory.
const maxListBytes = 64 << 20

type wireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func (w wireObject) object() Object { return NewObject(w.Key, w.Version, w.Value) }

type wireList struct {
	Objects []wireObject `json:"objects"`
}

type wirePut struct {
	// Expected is nil for an unconditional write.
	Expected *uint64 `json:"expected,omitempty"`
	Value    []byte  `json:"value"`
}
