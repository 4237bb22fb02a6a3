// Package stepper keeps the ranks of a group that run in lock-step evenly
// loaded: it reads which experts are in demand, plans an expert map, and switches
// all ranks to it in the same forward pass.
//
// A switch takes four kinds of orders. All ranks prepare the map, which loads
// weights beside those in use. One rank holds a later pass, so that the group
// cannot begin it. All ranks are armed to switch maps at that pass. Once every rank
// is known to be armed, the pass is released.
//
// An order that gets no answer may be executed seconds later, and an idle group
// begins no pass meanwhile. So a map is armed for one pass only, and a rank holds a
// pass only once: a late order can neither move a rank to another pass nor release
// a later switch. Ranks refuse orders for a map once they have prepared a newer one.
//
// One entry, the leader, does this at a time. If it is lost between the orders, the
// next leader finds the held pass and completes the switch.
package stepper
