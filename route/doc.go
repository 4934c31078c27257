// Package route defines the routing configuration of the query tier.
//
// A Table is one version of the configuration. It maps a host and path prefix
// to a Route. The Route names the services that answer the requests, and sets
// the timeout, the latency objective and whether a request may run more than
// once. It also holds the client accounts, so that routes and API keys change
// together.
package route
