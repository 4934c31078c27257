// Package metastore is a stand-in for the platform's store, for tests. A [Store]
// keeps objects by kind and name in memory; [Store.Handler] serves them over HTTP
// with revisions, conditional updates, paged lists and watches over a bounded
// history of changes. Tests inject faults with [Store.Inject] and return the store
// to an older copy with [Store.Restore].
package metastore
