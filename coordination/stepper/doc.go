// Package stepper keeps the ranks of a group that run in lock-step evenly
// loaded: it reads which experts are in demand, plans a map, and brings it into
// use at all ranks in the same pass.
//
// A switch takes four kinds of orders. All ranks prepare the map, which loads
// weights beside those in use. One rank holds a pass some way ahead, so that the
// group can't begin it. All ranks arm the map for that pass. Once every rank is
// known to be armed, the pass is released. The held pass fences the switch: an
// order that arrives late names a pass that has begun, and is refused.
//
// One entry at a time does this. When it is lost between the orders, the next one
// finds the held pass and finishes the switch.
package stepper
