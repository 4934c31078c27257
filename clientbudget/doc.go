// Package clientbudget bounds what clients that nobody controls can make a daemon
// hold: memory, connections and descriptors.
//
// A [Budget] is shared by all listeners of a daemon. [Budget.Listen] wraps a
// listener, so that each connection is a [Conn] that counts what is held for its
// client: buffers, a request head with its parsed lines, a body, and an answer that
// the client has not taken. If the budget is exhausted, the connections that hold
// most for longest and make least progress are closed until there is room. A
// request that runs is never cut; its connection can be closed again once its
// answer is ready and not taken.
//
// Independently of the budget, each head is bounded in size while it is read, and
// a body or an answer that makes too little progress ends its connection.
package clientbudget
