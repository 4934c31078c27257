// Package account holds the client accounts of a configuration and finds the
// account that an API key identifies.
//
// Keys are kept and compared as SHA-256 digests only. A Directory belongs to one
// version of the configuration and is immutable, so that the keys of a version
// take effect and end together with its routes.
package account
