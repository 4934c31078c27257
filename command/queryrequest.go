package command

import "encoding/json"

// queryRequest is the body of POST /v1/query and, with a ticket, of POST /v1/run.
type queryRequest struct {
	ID         string          `json:"id"`
	Owner      string          `json:"owner"`
	Class      string          `json:"class"`
	Service    string          `json:"service"`
	Route      string          `json:"route"`
	DeadlineMS int64           `json:"deadline_ms"`
	Limit      int             `json:"limit,omitempty"`
	Ticket     *ticket         `json:"ticket,omitempty"`
	Body       json.RawMessage `json:"body"`
}
