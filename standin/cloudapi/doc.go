// Package cloudapi is a stand-in for the platform's cloud API, for tests. An [API]
// records the usage reports that it receives and checks them against the rules
// for duties: one content for each window, no token of two holders, no lower token
// after a higher one, and no return to an earlier holder within the lease. Tests
// inject faults with [API.Inject].
package cloudapi
