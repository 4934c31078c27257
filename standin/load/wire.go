package load

import "encoding/json"

// Wire types of the callers' interface. They are separate from the product's, so
// that an unintended change of those is detected.

type wireAddress struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
}

type wireAddresses struct {
	Addresses []wireAddress `json:"addresses"`
	KeepMS    int64         `json:"keep_ms"`
	IssuedMS  int64         `json:"issued_ms"`
}

type wireTicket struct {
	Incarnation string `json:"incarnation"`
	IssuedMS    int64  `json:"issued_ms"`
}

type wireRequest struct {
	ID         string          `json:"id"`
	Owner      string          `json:"owner"`
	Class      string          `json:"class"`
	Service    string          `json:"service"`
	Route      string          `json:"route"`
	DeadlineMS int64           `json:"deadline_ms"`
	Limit      int             `json:"limit,omitempty"`
	Ticket     *wireTicket     `json:"ticket,omitempty"`
	Body       json.RawMessage `json:"body"`
}

type wireCoverage struct {
	Documents uint64  `json:"documents"`
	Total     uint64  `json:"total"`
	Fraction  float64 `json:"fraction"`
}

type wireHit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Shard string          `json:"shard"`
	Data  json.RawMessage `json:"data"`
}

type wireMissing struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// wireAnswer is the answer to a query or the outcome of a non-idempotent request,
// or a refusal if Kind is set.
type wireAnswer struct {
	ID           string          `json:"id"`
	Snapshot     uint64          `json:"snapshot"`
	PartitionMap string          `json:"partition_map"`
	Coverage     wireCoverage    `json:"coverage"`
	Hits         []wireHit       `json:"hits"`
	Missing      []wireMissing   `json:"missing"`
	Outcome      string          `json:"outcome"`
	Body         json.RawMessage `json:"body"`
	Kind         string          `json:"kind"`
	Ran          string          `json:"ran"`
	Retry        string          `json:"retry"`
	Detail       string          `json:"detail"`
}
