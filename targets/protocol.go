package targets

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Protocol encodes requests to targets and classifies their answers. Its
// functions must not block.
type Protocol struct {
	// Append appends the encoded req to dst and returns the extended slice. The
	// id is that of the target, left the time until the caller's deadline.
	Append func(dst []byte, req *Request, id string, left time.Duration) []byte
	// Judge returns the outcome that an answer states. It returns false if the
	// answer belongs to another request.
	Judge func(resp *fasthttp.Response, req *Request) (Outcome, bool)
}
