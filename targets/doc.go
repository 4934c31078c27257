// Package targets sends requests to the targets of a service. It decides which
// target gets a request, keeps the connections within the cap that all daemons
// share, and learns from answers, failures and silence how well each target
// serves.
package targets
