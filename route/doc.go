// Package route defines the routing configuration of the query tier.
//
// A Table is one version of the configuration. It maps a host and path prefix
// to a Route, which names the services that answer the requests and states
// whether a request may run more than once, its timeout and its latency
// objective.
package route
