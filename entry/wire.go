package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

type addressesReply struct {
	Addresses []addressReply `json:"addresses"`
	KeepMS    int64          `json:"keep_ms"`
	IssuedMS  int64          `json:"issued_ms"`
}

type addressReply struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
}

type answerReply struct {
	ID           string         `json:"id"`
	Snapshot     uint64         `json:"snapshot"`
	PartitionMap string         `json:"partition_map"`
	Coverage     coverageReply  `json:"coverage"`
	Hits         []hitReply     `json:"hits"`
	Missing      []missingReply `json:"missing"`
}

type coverageReply struct {
	Documents uint64  `json:"documents"`
	Total     uint64  `json:"total"`
	Fraction  float64 `json:"fraction"`
}

type hitReply struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Shard string          `json:"shard"`
	Data  json.RawMessage `json:"data,omitempty"`
}

type missingReply struct {
	Shard  string       `json:"shard"`
	Reason refusal.Kind `json:"reason"`
}

type refusalReply struct {
	ID     string        `json:"id"`
	Kind   refusal.Kind  `json:"kind"`
	Ran    refusal.Ran   `json:"ran"`
	Retry  refusal.Retry `json:"retry"`
	Detail string        `json:"detail"`
}

func (a *Answer) reply() answerReply {
	out := answerReply{
		ID: a.id, Snapshot: a.version.snapshot, PartitionMap: a.version.mapID,
		Coverage: coverageReply{Documents: a.documents, Total: a.version.total, Fraction: a.fraction()},
		Hits:     make([]hitReply, 0, len(a.hits)),
		Missing:  make([]missingReply, 0, len(a.missing)),
	}
	for _, h := range a.hits {
		out.Hits = append(out.Hits, hitReply{ID: h.ID(), Score: h.Score(), Shard: h.shard, Data: rawJSON(h.Data())})
	}
	for _, m := range a.missing {
		out.Missing = append(out.Missing, missingReply{m.shard, m.reason})
	}
	return out
}

// rawJSON returns valid JSON unchanged and encodes any other payload as a JSON
// string in base64.
func rawJSON(data []byte) json.RawMessage {
	if len(data) == 0 || json.Valid(data) {
		return data
	}
	s, _ := json.Marshal(data)
	return s
}

// writeJSON writes v as the body of the response. If v cannot be encoded, it
// writes an internal error.
func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		data, _ = json.Marshal(refusalReply{Kind: refusal.Internal, Ran: refusal.Unknown, Retry: refusal.RetryConfirm, Detail: err.Error()})
	}
	c.SetContentType("application/json")
	c.SetStatusCode(status)
	c.SetBody(data)
}

// writeRefusal writes err as a refusal, with the HTTP status of its kind.
func writeRefusal(c *fasthttp.RequestCtx, id string, err error) {
	e := refusal.FromError(err)
	a := refusal.AnswerFor(e.Kind())
	meter.Refused("entry", e.Kind())
	writeJSON(c, a.Status(), refusalReply{ID: id, Kind: e.Kind(), Ran: e.Ran(), Retry: a.Retry(), Detail: e.Detail()})
}
