package targets

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Match states to which request an answer belongs.
type Match int

// The values of Match.
const (
	Unidentified Match = iota // The answer names no request.
	Own                       // The answer names the request that was sent last.
	Foreign                   // The answer names another request.
)

// Protocol encodes requests to targets and classifies their answers. Its
// functions must not block.
type Protocol struct {
	// AppendHead appends the encoded head of req to dst and returns the extended
	// slice. The body follows it unchanged. The id is that of the target; left is
	// the time until the caller's deadline.
	AppendHead func(dst []byte, req *Request, id string, left time.Duration) []byte
	// Classify returns the outcome that an answer states, and to which request
	// the answer belongs.
	Classify func(resp *fasthttp.Response, req *Request) (Outcome, Match)
	// AppendProbe appends the request to path by which the target with the given ID
	// states how long it is cold. Host is its address.
	AppendProbe func(dst []byte, path, host, id string) []byte
	// ProbeAnswer returns how long the target with the given ID is cold according to
	// the answer to a probe. It returns false if the answer does not state it.
	ProbeAnswer func(resp *fasthttp.Response, id string) (coldFor time.Duration, ok bool)
	// Notice returns what the target states about itself in an answer.
	Notice func(resp *fasthttp.Response) Notice
}
