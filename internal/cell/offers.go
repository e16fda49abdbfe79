package cell

import (
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// jobOffered takes a submission from an instance. The job is planned at once;
// no task of it starts before the store has it, since its placements are stored
// with it or after it.
func (c *Cell) jobOffered(e JobOffered) {
	if !c.takesOffers() {
		c.emit(OfferSettled{Ticket: e.Ticket})
		return
	}
	j := c.jobs[e.Job.ID]
	switch {
	case j != nil && j.unstored:
		j.offers = append(j.offers, e.Ticket)
		return
	case j != nil:
		c.emit(OfferSettled{Ticket: e.Ticket, Stored: true})
		return
	}
	c.jobAdded(e.Job, InProgress)
	j = c.jobs[e.Job.ID]
	j.unstored, j.offers = true, []uint64{e.Ticket}
	c.newJobs = append(c.newJobs, j)
	c.offered = append(c.offered, Entry{Key: jobs.JobKey(j.id), Value: e.Value})
}

func (c *Cell) cancelOffered(e CancelOffered) {
	j := c.jobs[e.ID]
	if !c.takesOffers() || j == nil {
		c.emit(OfferSettled{Ticket: e.Ticket})
		return
	}
	if j.stored.Final() {
		c.emit(OfferSettled{Ticket: e.Ticket, Stored: true})
		return
	}
	c.jobCancelled(e.ID, InProgress)
	c.offers = append(c.offers, e.Ticket)
	c.offered = append(c.offered, Entry{Key: jobs.CancelKey(e.ID), Value: []byte("{}")})
}

func (c *Cell) takesOffers() bool {
	return c.role == roleOwner && c.settled && !c.released && !c.wantsRelease()
}

// takeOffers moves the offers into an append.
func (c *Cell) takeOffers(in *commit) []Entry {
	in.offers, in.stored = c.offers, c.newJobs
	out := c.offered
	c.offers, c.newJobs, c.offered = nil, nil, nil
	return out
}

// settleOffers answers the offers of an append that the store has.
func (c *Cell) settleOffers(in *commit) {
	for _, j := range in.stored {
		for _, t := range j.offers {
			c.emit(OfferSettled{Ticket: t, Stored: true})
		}
		j.unstored, j.offers = false, nil
	}
	for _, t := range in.offers {
		c.emit(OfferSettled{Ticket: t, Stored: true})
	}
}

// abandonOffers answers the offers that an owner can't store any more. Those
// of the append in flight may be stored.
func (c *Cell) abandonOffers() {
	if in := c.inFlight; in != nil {
		for _, j := range in.stored {
			for _, t := range j.offers {
				c.emit(OfferSettled{Ticket: t, InDoubt: true})
			}
		}
		for _, t := range in.offers {
			c.emit(OfferSettled{Ticket: t, InDoubt: true})
		}
	}
	for _, j := range c.newJobs {
		for _, t := range j.offers {
			c.emit(OfferSettled{Ticket: t})
		}
	}
	for _, t := range c.offers {
		c.emit(OfferSettled{Ticket: t})
	}
}
