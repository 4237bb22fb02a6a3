// Package spreader keeps every daemon on the newest accepted configuration and
// tells it who its peers are.
//
// A [Model] holds the control state. It decides and never waits: what happens
// comes in as messages, and what it wants done goes out as commands, which an
// [Executor] carries out over a [Transport] and the platform's object API. A
// [Spreader] runs both and publishes a [Snapshot] for traffic.
//
// Each daemon exchanges a [Digest] with a few neighbors. The neighbors are its
// successors on several rings, which order the members by different hashes of
// their names: connections stay open, every member is watched by as many
// others, and the rings together spread news in a few hops. A digest has a
// bounded size. It carries changes of members, and the revision: whoever is
// behind fetches the changed shards from whoever is ahead. Three members of
// each availability zone, chosen by a hash, watch the object API for all others.
package spreader
