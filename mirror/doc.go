// Package mirror keeps an up-to-date copy of objects in the platform's store. A
// few daemons watch the store and the others fetch the changes from their
// peers, so the number of calls to the store does not grow with the fleet.
package mirror
