package readbudget

import "github.com/valyala/fasthttp"

// Release returns an answer to the pool of responses. A large one is left to the
// garbage collector, because the pool would keep its memory for small ones. Read is
// the error with which reading it ended; what was read before may be large.
func Release(resp *fasthttp.Response, read error) {
	if read == nil && len(resp.Body()) <= freeBytes {
		fasthttp.ReleaseResponse(resp)
	}
}
