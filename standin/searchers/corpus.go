package searchers

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// documentsPerMatch is the average number of documents for each one that matches
// a query.
const documentsPerMatch = 8

// Range is the half-open range of keys [Low, High).
type Range struct {
	Low, High uint64
}

// Hit is one result, in the form of the target protocol.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Data  json.RawMessage `json:"data"`
}

// Corpus is a set of documents for each snapshot, generated from a seed.
// Each snapshot scores the documents differently, so that an answer that mixes
// snapshots differs from the reference answer.
type Corpus struct {
	seed          uint64
	baseDocuments int

	mu     sync.Mutex
	sorted []document // By key. A snapshot contains those with number < Total(snapshot).
}

type document struct {
	key    uint64
	number int
}

// NewCorpus returns the Corpus that seed generates. Snapshot n has documents+n
// documents.
func NewCorpus(seed uint64, documents int) *Corpus {
	return &Corpus{seed: seed, baseDocuments: documents}
}

// Total returns the number of documents in a snapshot.
func (c *Corpus) Total(snapshot uint64) uint64 { return uint64(c.baseDocuments) + snapshot }

// Count returns the number of documents of a snapshot whose keys are in r.
func (c *Corpus) Count(snapshot uint64, r Range) uint64 {
	var n uint64
	c.forEach(snapshot, r, func(document) { n++ })
	return n
}

// Search returns the reference answer to a query: at most limit hits among the
// documents of a snapshot whose keys are in the ranges, by descending score,
// then by id.
func (c *Corpus) Search(snapshot uint64, ranges []Range, query []byte, limit int) []Hit {
	hits := []Hit{}
	for _, r := range ranges {
		c.forEach(snapshot, r, func(d document) {
			h := c.hash(snapshot, uint64(d.number), query)
			if h%documentsPerMatch == 0 {
				hits = append(hits, newHit(snapshot, d.number, h))
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

func newHit(snapshot uint64, number int, h uint64) Hit {
	return Hit{
		ID: fmt.Sprintf("d%d", number),
		// A float64 represents 53 bits exactly.
		Score: float64(h>>11) / (1 << 53),
		Data:  fmt.Appendf(nil, `"document %d of snapshot %d"`, number, snapshot),
	}
}

func (c *Corpus) forEach(snapshot uint64, r Range, f func(document)) {
	total := int(c.Total(snapshot))
	docs := c.sortedDocuments(total)
	first := sort.Search(len(docs), func(i int) bool { return docs[i].key >= r.Low })
	for _, d := range docs[first:] {
		if d.key >= r.High {
			return
		}
		if d.number < total {
			f(d)
		}
	}
}

// sortedDocuments returns at least total documents, ordered by key.
func (c *Corpus) sortedDocuments(total int) []document {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sorted) >= total {
		return c.sorted
	}
	docs := make([]document, total)
	for i := range docs {
		docs[i] = document{key: c.hash(0, uint64(i), nil) >> 32, number: i}
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].key < docs[j].key })
	c.sorted = docs
	return docs
}

func (c *Corpus) hash(snapshot, number uint64, query []byte) uint64 {
	b := make([]byte, 0, 24+len(query))
	b = binary.LittleEndian.AppendUint64(b, c.seed)
	b = binary.LittleEndian.AppendUint64(b, snapshot)
	b = binary.LittleEndian.AppendUint64(b, number)
	return xxhash.Sum64(append(b, query...))
}
