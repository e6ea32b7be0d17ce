//! Agents of one service and the order in which they are asked for a piece.

use std::net::SocketAddr;

use pistachiolug_weights::order::Key;

/// Agent of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Internal address.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Version that its engine holds, as far as the list says.
    pub version: Option<u64>,
}

/// Where a piece may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Another agent.
    Agent(SocketAddr),
    /// The origin.
    Origin,
}

/// Way of one piece to one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Position in the tree of the agent's region; those further down wait for it.
    pub depth: usize,
    /// Sources in the order in which they are asked; the origin comes last, or first where the agent reads it.
    pub sources: Vec<Source>,
}

/// Members of the service, this agent among them.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    /// Each with its key; sorted by address, without doubles.
    members: Vec<(Key, Member)>,
}

/// Copies of a piece that a member passes on within its region.
const FAN_OUT: usize = 2;

/// Returns the position that the member at `position` gets a piece from.
fn parent(position: usize) -> usize {
    (position - 1) / FAN_OUT
}

/// Agents that are asked for a piece before the origin.
const ASKED_MOST: usize = 3;

impl Roster {
    /// Builds a roster from members in any order.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| member.address);
        members.dedup_by_key(|member| member.address);
        let keyed = members
            .into_iter()
            .map(|member| (Key::of(&member.address.to_string()), member));
        Self {
            members: keyed.collect(),
        }
    }

    /// Returns the members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, member)| member)
    }

    /// Returns where `me` gets a piece.
    ///
    /// Members that hold the version already are asked first, near ones before others. Else one member, the same for
    /// all, reads the piece from the origin; the first member of each other region gets it from there; within a region
    /// it goes down a tree, so that no member's link carries more than a few copies. So one copy leaves the origin
    /// and one crosses each region's link. Those above in the tree stand in for members that do not answer.
    ///
    /// # Arguments
    /// `home` is the origin's region, whose members read from it.
    pub fn plan(&self, me: &Member, piece: &str, version: u64, home: Option<&str>) -> Plan {
        let object = Key::of(piece);
        let holders = self.ranked(object, |member| {
            member.address != me.address && member.version == Some(version)
        });
        let (near, far): (Vec<&Member>, Vec<&Member>) = holders
            .into_iter()
            .partition(|member| member.region == me.region);
        let holders: Vec<&Member> = near.into_iter().chain(far).take(ASKED_MOST).collect();
        let (depth, asked) = if holders.is_empty() {
            self.place(me, object, home)
        } else {
            (usize::MAX, holders)
        };
        let agents = asked.iter().map(|member| Source::Agent(member.address));
        Plan {
            depth,
            sources: agents.chain([Source::Origin]).collect(),
        }
    }

    /// Returns the place of `me` in the tree of its region for a piece that nobody holds yet, and whom it asks.
    fn place(&self, me: &Member, object: Key, home: Option<&str>) -> (usize, Vec<&Member>) {
        let near = self.ranked(object, |member| member.region == me.region);
        let position = near.iter().position(|member| member.address == me.address);
        let position = position.unwrap_or_default();
        if position > 0 {
            let above = std::iter::successors(Some(parent(position)), |above| {
                (*above > 0).then(|| parent(*above))
            });
            let asked = above.take(ASKED_MOST).map(|above| near[above]);
            return (position, asked.collect());
        }
        let mut readers = self.ranked(object, |member| home.is_none_or(|home| member.region == home));
        if readers.is_empty() {
            readers = self.ranked(object, |_| true);
        }
        let before = readers
            .into_iter()
            .take_while(|member| member.address != me.address);
        (position, before.take(ASKED_MOST).collect())
    }

    /// Returns the position of `me` among the members for a version, from 0.
    pub fn position(&self, me: &Member, version: &str) -> usize {
        let ranked = self.ranked(Key::of(version), |_| true);
        let position = ranked.iter().position(|member| member.address == me.address);
        position.unwrap_or_default()
    }

    fn ranked(&self, object: Key, keep: impl Fn(&Member) -> bool) -> Vec<&Member> {
        let mut ranked: Vec<&(Key, Member)> = self
            .members
            .iter()
            .filter(|(_, member)| keep(member))
            .collect();
        ranked.sort_by_key(|(key, _)| std::cmp::Reverse(key.score(object)));
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}
