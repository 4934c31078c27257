package route

import "time"

// Limits bound what a caller may send and how long it may stay idle.
type Limits struct {
	headerBytes int
	bodyBytes   int
	headerTime  time.Duration
	idleTime    time.Duration
}

// NewLimits returns limits on the size of a request's header and body in bytes,
// on the time for sending the header and on the time between two requests.
func NewLimits(headerBytes, bodyBytes int, headerTime, idleTime time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// HeaderBytes returns the greatest size of a request's header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the greatest size of a request's body.
func (l Limits) BodyBytes() int { return l.bodyBytes }

// HeaderTime returns the longest time for sending a header.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// IdleTime returns the longest time between two requests of a connection.
func (l Limits) IdleTime() time.Duration { return l.idleTime }
