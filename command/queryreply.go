package command

import "encoding/json"

// queryReply holds the fields of an answer that text output shows.
type queryReply struct {
	ID       string `json:"id"`
	Snapshot uint64 `json:"snapshot"`
	Coverage struct {
		Documents uint64  `json:"documents"`
		Total     uint64  `json:"total"`
		Fraction  float64 `json:"fraction"`
	} `json:"coverage"`
	Hits []struct {
		ID    string          `json:"id"`
		Score float64         `json:"score"`
		Shard string          `json:"shard"`
		Data  json.RawMessage `json:"data"`
	} `json:"hits"`
	Missing []struct {
		Shard  string `json:"shard"`
		Reason string `json:"reason"`
	} `json:"missing"`
}
