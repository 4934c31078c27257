// Package mirror keeps an up-to-date copy of objects in the platform's store. A
// few daemons watch the store and the others fetch the changes from their
// peers, so the number of calls to the store does not grow with the fleet.
//
// The store may be restored from an older copy, which begins its next era. All
// positions in it are pairs of an era and a revision; see [Eras] and [Position].
package mirror
