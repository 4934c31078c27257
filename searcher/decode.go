package searcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// maxHits is the maximum number of hits in one reply. The limit in bytes alone
// would allow millions of empty hits.
const maxHits = 100_000

type wireLabel struct {
	Snapshot  uint64 `json:"snapshot"`
	Map       string `json:"map"`
	Low       uint64 `json:"low"`
	High      uint64 `json:"high"`
	Documents uint64 `json:"documents"`
	Total     uint64 `json:"total"`
}

func (w wireLabel) label() shard.Label { return shard.NewLabel(shard.LabelSpec(w)) }

func (w wireLabel) validate() error {
	switch {
	case w.Snapshot == 0:
		return errors.New("snapshot is missing or 0")
	case w.Map == "":
		return errors.New("partition map is missing")
	case w.Low >= w.High:
		return fmt.Errorf("range [%d, %d) is empty", w.Low, w.High)
	case w.Documents > w.Total:
		return fmt.Errorf("shard has %d documents, but the total is %d", w.Documents, w.Total)
	}
	return nil
}

type wireHit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Data  json.RawMessage `json:"data"`
}

type wireReply struct {
	ID    string `json:"id"`
	Shard string `json:"shard"`
	wireLabel
	Version string          `json:"version"`
	Hits    []wireHit       `json:"hits"`
	Body    json.RawMessage `json:"body"`
}

type wireHealth struct {
	State     string          `json:"state"`
	Version   string          `json:"version"`
	Boot      json.RawMessage `json:"boot"`
	InFlight  int             `json:"inflight"`
	Snapshots []wireLabel     `json:"snapshots"`
}

func badReply(format string, args ...any) *Failure {
	return NewFailure(FaultReply, refusal.New(refusal.BadReply, format, args...))
}

// decodeStrict decodes exactly one JSON value. It rejects trailing bytes, which
// belong to a second reply.
func decodeStrict(body []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(out); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// decodeReply decodes the body of a 200 reply and checks it against the call.
func decodeReply(c Call, body []byte) (Reply, *Failure) {
	var w wireReply
	if err := decodeStrict(body, &w); err != nil {
		return Reply{}, badReply("decode reply: %v", err)
	}
	if w.ID != c.ID() {
		return Reply{}, badReply("reply has request id %.64q, want %q", w.ID, c.ID())
	}
	if w.Shard != c.Shard() {
		return Reply{}, badReply("reply is from shard %.64q, want %q", w.Shard, c.Shard())
	}
	if err := w.validate(); err != nil {
		return Reply{}, badReply("reply has an invalid label: %v", err)
	}
	if c.Snapshot() != 0 && w.Snapshot != c.Snapshot() {
		return Reply{}, badReply("reply is from snapshot %d, want %d", w.Snapshot, c.Snapshot())
	}
	label := w.label()
	if a := c.ExpectedLabel(); a != nil && *a != label {
		return Reply{}, badReply("reply has label %+v, searcher announced %+v", w.wireLabel, *a)
	}
	if len(w.Hits) > maxHits {
		return Reply{}, badReply("reply has %d hits, the limit is %d", len(w.Hits), maxHits)
	}
	hits := make([]shard.Hit, len(w.Hits))
	for i, h := range w.Hits {
		hits[i] = shard.NewHit(shard.HitSpec{ID: h.ID, Score: h.Score, Data: h.Data})
	}
	return NewReply(ReplySpec{Version: w.Version, Label: label, Hits: hits, Body: w.Body}), nil
}

func decodeHealth(body []byte) (Health, *Failure) {
	var w wireHealth
	if err := decodeStrict(body, &w); err != nil {
		return Health{}, badReply("decode health reply: %v", err)
	}
	state := State(w.State)
	if state != Ready && state != Cold && state != Draining {
		return Health{}, badReply("health reply has unknown state %.64q", w.State)
	}
	labels := make([]shard.Label, 0, len(w.Snapshots))
	for _, s := range w.Snapshots {
		if err := s.validate(); err != nil {
			return Health{}, badReply("health reply has an invalid label: %v", err)
		}
		labels = append(labels, s.label())
	}
	return NewHealth(HealthSpec{
		State: state, Version: w.Version, Boot: strings.Trim(string(w.Boot), `"`), InFlight: w.InFlight, Labels: labels,
	}), nil
}
