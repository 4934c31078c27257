// Package objects is a stand-in for the platform's object store. A [Store] keeps
// objects in memory and implements store.Store; a [Handler] serves it over HTTP.
// Tests inject faults with [Store.SetFaults] or POST /admin/faults. Product code
// does not import this package.
package objects
