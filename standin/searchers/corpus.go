package searchers

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// matchOneIn is the number of documents for each one that matches a query.
const matchOneIn = 8

// Range is the keys [Low, High).
type Range struct {
	Low, High uint64
}

// Hit is one result, in the form of the target protocol.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Data  json.RawMessage `json:"data"`
}

// Corpus is a set of documents for each snapshot, determined by a seed.
// Every snapshot scores the documents differently, so that an answer that mixes
// snapshots differs from the reference answer.
type Corpus struct {
	seed      uint64
	documents int

	mu   sync.Mutex
	keys []document // Ordered by key, the same in every snapshot but for the last ones.
}

type document struct {
	key    uint64
	number int
}

// NewCorpus returns the Corpus of a seed. Snapshot n has documents+n documents.
func NewCorpus(seed uint64, documents int) *Corpus {
	return &Corpus{seed: seed, documents: documents}
}

// Total returns the number of documents of a snapshot.
func (c *Corpus) Total(snapshot uint64) uint64 { return uint64(c.documents) + snapshot }

// Count returns the number of documents of a snapshot in a range.
func (c *Corpus) Count(snapshot uint64, r Range) uint64 {
	var n uint64
	c.each(snapshot, r, func(document) { n++ })
	return n
}

// Search returns the reference answer: the best limit hits of a query among
// the documents of a snapshot in the ranges, ordered by score, highest first,
// then by id.
func (c *Corpus) Search(snapshot uint64, ranges []Range, query []byte, limit int) []Hit {
	hits := []Hit{}
	for _, r := range ranges {
		c.each(snapshot, r, func(d document) {
			h := c.hash(snapshot, uint64(d.number), query)
			if h%matchOneIn == 0 {
				hits = append(hits, hit(snapshot, d.number, h))
			}
		})
	}
	sort.Slice(hits, func(i, j int) bool {
		if hits[i].Score != hits[j].Score {
			return hits[i].Score > hits[j].Score
		}
		return hits[i].ID < hits[j].ID
	})
	return hits[:min(limit, len(hits))]
}

func hit(snapshot uint64, number int, h uint64) Hit {
	return Hit{
		ID: fmt.Sprintf("d%d", number),
		// 53 bits are exact in a float64.
		Score: float64(h>>11) / (1 << 53),
		Data:  fmt.Appendf(nil, `"document %d of snapshot %d"`, number, snapshot),
	}
}

func (c *Corpus) each(snapshot uint64, r Range, f func(document)) {
	total := int(c.Total(snapshot))
	keys := c.keysFor(total)
	first := sort.Search(len(keys), func(i int) bool { return keys[i].key >= r.Low })
	for _, d := range keys[first:] {
		if d.key >= r.High {
			return
		}
		if d.number < total {
			f(d)
		}
	}
}

// keysFor returns the ordered keys of at least total documents.
func (c *Corpus) keysFor(total int) []document {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys) >= total {
		return c.keys
	}
	keys := make([]document, total)
	for i := range keys {
		keys[i] = document{key: c.hash(0, uint64(i), nil) >> 32, number: i}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].key < keys[j].key })
	c.keys = keys
	return keys
}

func (c *Corpus) hash(snapshot, number uint64, query []byte) uint64 {
	b := make([]byte, 0, 24+len(query))
	b = binary.LittleEndian.AppendUint64(b, c.seed)
	b = binary.LittleEndian.AppendUint64(b, snapshot)
	b = binary.LittleEndian.AppendUint64(b, number)
	return xxhash.Sum64(append(b, query...))
}
