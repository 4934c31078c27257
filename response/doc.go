// Package response reads answers of other processes and rejects those of which other readers
// could take another status, body or end.
//
// Only 200 to 599 is the status of an answer. Read reads one answer: it checks the head,
// decodes it with fasthttp, and reads the body by the one length that the head states.
// Transport wraps a transport of net/http, which is as strict but for the status. Both skip
// interim responses (100 to 199), except 101: no request asks for another protocol. With any
// other answer they fail, so that the caller treats it like one that broke off, and its
// connection is closed.
package response
