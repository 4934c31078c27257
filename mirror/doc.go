// Package mirror holds a copy of objects in the platform's store and keeps it
// up to date. A few daemons watch the store; the others fetch the changes from
// their neighbours, so the calls to the store do not grow with the fleet.
package mirror
