"""Team labels on metrics, limited in number to bound memory."""

MAXIMUM_TEAM_LABELS = 200
OTHER_TEAMS = "(other)"
NO_TEAM = "(open)"


class TeamLabels:
    """Map team names to label values.

    The first ``MAXIMUM_TEAM_LABELS`` teams are labelled with their own names, all
    further ones with ``OTHER_TEAMS``.
    """

    def __init__(self):
        self._teams = set()

    def find(self, team):
        """Return a team's label, or ``NO_TEAM`` if the name is empty."""
        if not team:
            return NO_TEAM
        if team not in self._teams:
            if len(self._teams) >= MAXIMUM_TEAM_LABELS:
                return OTHER_TEAMS
            self._teams.add(team)
        return team
