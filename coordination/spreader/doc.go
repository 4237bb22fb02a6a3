// Package spreader distributes the accepted configuration to every daemon by
// gossip and maintains each daemon's view of the membership.
//
// A [Model] holds the control state and never blocks: events arrive as messages,
// and effects leave as commands, which an [Executor] carries out over a
// [Transport] and the platform's object API. A [Spreader] runs both and
// publishes a [Snapshot] for the request path.
//
// Each daemon exchanges a [Digest] with a few neighbors. The neighbors are its
// successors on several rings, each of which orders the members by a different
// hash of their IDs. Connections therefore stay open, every member is probed by
// the same number of others, and the combined rings carry an update to all
// members in a few hops. A digest has a bounded size. It carries membership
// updates and the sender's revision; a daemon that is behind fetches the changed
// shards from a peer that is ahead. Three members of each availability zone,
// chosen by a hash, watch the object API on behalf of all others.
package spreader
