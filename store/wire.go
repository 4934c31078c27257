package store

// MaxValueBytes is the highest size of a value, a limit of the platform's store.
const MaxValueBytes = 1 << 20

// maxListBytes bounds a List reply, so that a faulty store cannot exhaust memory.
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
	// Expected is absent for an unconditional write.
	Expected *uint64 `json:"expected,omitempty"`
	Value    []byte  `json:"value"`
}
