//! What an agent may conclude from the pieces that its engine stages when it starts.

use std::collections::BTreeMap;

use pistachiolug_loader::{
    manifest::{Digest, Manifest},
    predecessor::{Evidence, Order},
};

const PIECES: usize = 6;

/// Piece of a version; `0` is a corrupt one.
fn piece(version: u64, index: usize) -> Digest {
    let mut digest = [index as u8; 32];
    digest[0] = version as u8;
    digest
}

fn manifests(versions: &[u64]) -> BTreeMap<u64, Manifest> {
    let manifest = |version| Manifest {
        digests: (0..PIECES).map(|index| piece(version, index)).collect(),
    };
    let versions = versions.iter().copied();
    versions
        .map(|version| (version, manifest(version)))
        .collect()
}

/// Returns staged pieces by their versions; `None` where no piece is staged.
fn staged(versions: [Option<u64>; PIECES]) -> Vec<Option<Digest>> {
    let pieces = versions.iter().enumerate();
    let pieces = pieces.map(|(index, version)| version.map(|version| piece(version, index)));
    pieces.collect()
}

const fn all(version: u64) -> [Option<u64>; PIECES] {
    [Some(version); PIECES]
}

/// Returns pieces of which those from the first index on, up to the second, are of another version.
fn mixed(version: u64, from: usize, to: usize, other: u64) -> [Option<u64>; PIECES] {
    let mut versions = all(version);
    versions[from..to].fill(Some(other));
    versions
}

/// An order that is not found may be accepted while pieces of another version are staged.
#[test]
fn an_order_is_pending_if_the_pieces_may_be_those_of_another_version() {
    let mut gap = all(2);
    gap[3] = None;
    let rows = [
        (
            "the loaded version",
            &[1, 2][..],
            Some(1),
            all(1),
            Order::None,
        ),
        ("the next version", &[1, 2], Some(1), all(2), Order::For(2)),
        (
            "a corrupt piece",
            &[1, 2],
            Some(1),
            mixed(2, 0, 1, 0),
            Order::For(2),
        ),
        (
            "two versions",
            &[1, 2],
            Some(1),
            mixed(1, 0, 3, 2),
            Order::None,
        ),
        ("a missing piece", &[1, 2], Some(1), gap, Order::None),
        ("nothing", &[1, 2], Some(1), [None; PIECES], Order::None),
        (
            "an unknown version",
            &[1, 3],
            Some(1),
            all(2),
            Order::Unidentified,
        ),
        (
            "an unknown version begun",
            &[1, 3],
            Some(1),
            mixed(1, 0, 2, 2),
            Order::None,
        ),
        (
            "the loaded version, one corrupt",
            &[1, 2],
            Some(1),
            mixed(1, 0, 1, 0),
            Order::None,
        ),
        ("a version before", &[1, 2], Some(2), all(1), Order::None),
        ("an empty engine", &[1, 2], None, all(1), Order::For(1)),
        ("no manifest", &[], Some(1), all(1), Order::Unidentified),
    ];

    for (name, known, held, pieces, expected) in rows {
        let (pieces, manifests) = (staged(pieces), manifests(known));
        let evidence = Evidence {
            pieces: &pieces,
            manifests: &manifests,
        };

        assert_eq!(evidence.pending_order(held), expected, "{name}");
    }
}

/// Tokens may be made with a load that counts as whole.
#[test]
fn a_load_is_whole_if_its_pieces_or_newer_ones_are_staged() {
    let rows = [
        ("its pieces", &[2, 3][..], all(2), true),
        ("all of a newer version", &[3], all(3), true),
        ("one of a newer version", &[2, 3], mixed(2, 4, 5, 3), true),
        (
            "a newer one beside a corrupt one",
            &[2, 3],
            mixed(0, 1, 6, 3),
            true,
        ),
        ("one of an older version", &[1, 2], mixed(2, 4, 5, 1), false),
        ("a corrupt one", &[1, 2, 3], mixed(2, 4, 5, 0), false),
        ("an unknown version", &[2], all(3), false),
        ("nothing", &[2, 3], [None; PIECES], false),
    ];

    for (name, known, pieces, expected) in rows {
        let (pieces, manifests) = (staged(pieces), manifests(known));
        let evidence = Evidence {
            pieces: &pieces,
            manifests: &manifests,
        };

        assert_eq!(evidence.proves(2), expected, "{name}");
    }
}

/// Versions may share pieces.
#[test]
fn a_piece_of_both_versions_shows_nothing() {
    let mut manifests = manifests(&[2, 3]);
    let shared = piece(2, 0);
    if let Some(manifest) = manifests.get_mut(&3) {
        manifest.digests[0] = shared;
    }
    let pieces = staged(mixed(2, 1, 2, 0));
    let evidence = Evidence {
        pieces: &pieces,
        manifests: &manifests,
    };

    assert!(!evidence.proves(2));
    assert_eq!(evidence.pending_order(Some(2)), Order::None);
}
