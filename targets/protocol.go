package targets

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Protocol is how targets are spoken to. Its functions must not block.
type Protocol struct {
	// Append appends the bytes of req for the target of that identity, which
	// may work on it for the time that is left.
	Append func(dst []byte, req *Request, id string, left time.Duration) []byte
	// Judge tells what an answer means. It reports false for an answer that
	// belongs to another request.
	Judge func(resp *fasthttp.Response, req *Request) (Outcome, bool)
}
