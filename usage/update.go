package usage

// Source identifies one run of a daemon that counts.
type Source struct {
	Daemon      string
	Incarnation uint64
}

// Count is the number of requests of one account in one window.
type Count struct {
	Window  int64
	Account string
	Count   int64  // All requests of the source in the window.
	Change  uint64 // Number of the change that led to the count.
}

// Update is what a source passes on.
type Update struct {
	Since     int64   // The first window that the source has counted from its start on.
	Confirmed int64   // The last window whose counts are complete with this update.
	Change    uint64  // Number of the last change in this update.
	Counts    []Count // In the order of their changes.
}
