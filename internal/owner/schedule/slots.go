package schedule

// Slots returns the number of statements that may be in flight at once.
func (s *Scheduler) Slots() int { return s.options.Slots }
